/** TLS key and certificate files. Changed files are reloaded without closing connections. */
import { readFileSync, unwatchFile, watchFile } from 'node:fs'
import { LynxError, getErrorMessage } from '@lynxcourse/base'

/** Contents of the files, in PEM format. */
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
  onChange: (listener: (material: TlsMaterial) => void) => void
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
 * Reads the files and watches them for changes.
 *
 * @param onError called if changed files can't be used; the old contents stay in use
 * @throws LynxError `badSettings` if the files can't be read
 */
export function openTlsFiles (paths: TlsPaths, onError: (err: unknown) => void): TlsFiles {
  const listeners: Array<(material: TlsMaterial) => void> = []
  const watchedPaths = [paths.certFile, paths.keyFile, paths.caFile]
  const files: TlsFiles = {
    current: readFiles(paths),
    onChange: listener => { listeners.push(listener) },
    [Symbol.dispose]: () => watchedPaths.forEach(path => unwatchFile(path, reload))
  }
  function reload (): void {
    try {
      const next = readFiles(paths)
      for (const listener of listeners) listener(next)
      files.current = next
    } catch (err) {
      // Files are often replaced one after the other. The old contents stay in use until the new files match each other.
      onError(err)
    }
  }
  for (const path of watchedPaths) watchFile(path, { interval: pollMs, persistent: false }, reload)
  return files
}
