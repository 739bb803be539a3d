/** The signal to read the settings again, which may arrive before the VM has started. */

export interface ReloadSignal {
  /** Calls a handler for each signal from now on, and at once if one has arrived already. */
  readonly handle: (reload: () => void) => void
}

/** Starts to listen for SIGHUP. Without a listener, the signal ends the process. */
export function listenForReload (): ReloadSignal {
  let handler: (() => void) | undefined
  let hasArrived = false
  process.on('SIGHUP', () => {
    hasArrived = true
    handler?.()
  })
  return {
    handle: reload => {
      handler = reload
      if (hasArrived) reload()
    }
  }
}
