/** Recognizes the same request when it arrives again: with another id, over another connection or at another VM. */
import { createHash } from 'node:crypto'
import type { IncomingHttpHeaders } from 'node:http'
import { brandId } from '@lynxcourse/base'
import type { RequestFingerprint } from '@lynxcourse/base'

/** The parts of a request that determine what a backend server does with it. */
export interface RequestContents {
  readonly method: string
  readonly host: string
  readonly path: string
  /** Who sends the request; empty if the caller did not identify itself. */
  readonly identity: string
  readonly body: Buffer | null
}

/** Returns the credentials by which a caller identifies itself; empty if there are none. */
export function getCallerIdentity ({ authorization, cookie }: IncomingHttpHeaders): string {
  return authorization ?? cookie ?? ''
}

/** Returns a digest of a request's contents. */
export function computeFingerprint ({ method, host, path, identity, body }: RequestContents): RequestFingerprint {
  const hash = createHash('sha256').update(JSON.stringify([method, host, path, identity]))
  if (body !== null) hash.update(body)
  return brandId<RequestFingerprint>(hash.digest('base64url'))
}

/** Returns a function that computes the fingerprint at its first call, since most requests never need theirs. */
export function createLazyFingerprint (contents: RequestContents): () => RequestFingerprint {
  let fingerprint: RequestFingerprint | undefined
  return () => (fingerprint ??= computeFingerprint(contents))
}
