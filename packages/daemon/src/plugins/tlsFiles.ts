/** TLS key and certificate files, read anew when they change, without dropping connections. */
import { readFileSync, unwatchFile, watchFile } from 'node:fs'
import { LynxError, getErrorMessage } from '@lynxcourse/base'

export interface TlsMaterial {
  readonly cert: string
  readonly key: string
  readonly ca: string
}

export interface TlsPaths {
  readonly certFile: string
  readonly keyFile: string
  readonly caFile: string
}

export interface TlsFiles extends Disposable {
  current: TlsMaterial
  onChange: (listener: (files: TlsMaterial) => void) => void
}

const pollMs = 1000

function readFiles (paths: TlsPaths): TlsMaterial {
  try {
    return {
      cert: readFileSync(paths.certFile, 'utf8'),
      key: readFileSync(paths.keyFile, 'utf8'),
      ca: readFileSync(paths.caFile, 'utf8')
    }
  } catch (err) {
    throw new LynxError('badSettings', `tls: ${getErrorMessage(err)}`, { step: 'read tls', field: 'tls', cause: err })
  }
}

/**
 * Reads the files and watches them.
 *
 * @param onError called when changed files can't be read; the old ones stay in use
 */
export function openTlsFiles (paths: TlsPaths, onError: (err: unknown) => void): TlsFiles {
  const listeners: Array<(files: TlsMaterial) => void> = []
  const names = [paths.certFile, paths.keyFile, paths.caFile]
  const files: TlsFiles = {
    current: readFiles(paths),
    onChange: listener => { listeners.push(listener) },
    [Symbol.dispose]: () => names.forEach(name => unwatchFile(name, reload))
  }
  function reload (): void {
    try {
      const next = readFiles(paths)
      for (const listener of listeners) listener(next)
      files.current = next
    } catch (err) {
      // Files are often replaced one after the other; until they fit together the old ones serve on.
      onError(err)
    }
  }
  for (const name of names) watchFile(name, { interval: pollMs, persistent: false }, reload)
  return files
}
