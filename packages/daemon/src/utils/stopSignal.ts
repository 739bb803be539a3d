/** The signals to stop, which may arrive before the VM has started and again while it stops. */

export interface StopSignal {
  /** Resolves with the first signal. */
  readonly received: Promise<NodeJS.Signals>
  /** Called with each signal after the first. */
  onRepeat: (signal: NodeJS.Signals) => void
}

/**
 * Starts to listen for SIGTERM and SIGINT. Without a listener, they end the process with all requests in progress.
 *
 * @param endProcess called on the second SIGINT: a person at a terminal doesn't want to wait for the requests in progress. A service
 * manager may repeat SIGTERM, which doesn't end the process sooner.
 */
export function listenForStop (endProcess: () => void): StopSignal {
  let resolveReceived: (signal: NodeJS.Signals) => void = () => undefined
  const stopSignal: StopSignal = {
    received: new Promise(resolve => { resolveReceived = resolve }),
    onRepeat: () => undefined
  }
  let signalCount = 0
  let interruptCount = 0
  const onSignal = (signal: NodeJS.Signals): void => {
    signalCount += 1
    if (signal === 'SIGINT') interruptCount += 1
    if (interruptCount > 1) endProcess()
    else if (signalCount === 1) resolveReceived(signal)
    else stopSignal.onRepeat(signal)
  }
  process.on('SIGTERM', onSignal)
  process.on('SIGINT', onSignal)
  return stopSignal
}
