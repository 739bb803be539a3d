/**
 * The notices of all backend servers that one VM has heard of.
 *
 * They outlive the VM's other records of a server: a server may be missing from the directory for a while, and what it asked
 * for still holds when it is listed again.
 */
import type { Millis, ServerId } from '@lynxcourse/base'
import { createServerNotice, restrictsRequests } from './serverNotice.js'
import type { ServerNotice } from './serverNotice.js'

interface NoticeEntry {
  /** Start of the server's process; another process under the same id has said nothing yet. */
  readonly bornAt: Millis
  readonly notice: ServerNotice
  /** When the server was last listed. */
  listedAt: Millis
}

export type ServerNotices = Map<ServerId, NoticeEntry>

/** Time for which the notice of a server that is not listed is kept. */
const unlistedTtlMs: Millis = 600_000

/** Returns the notice of a listed server, and creates it on first use. */
export function getNotice (notices: ServerNotices, server: ServerId, bornAt: Millis, now: Millis): ServerNotice {
  const known = notices.get(server)
  if (known?.bornAt === bornAt) {
    known.listedAt = now
    return known.notice
  }
  const notice = createServerNotice()
  notices.set(server, { bornAt, notice, listedAt: now })
  return notice
}

/** Forgets the servers that were not listed at `now` and have said nothing that still holds. */
export function pruneNotices (notices: ServerNotices, now: Millis): void {
  for (const [server, { notice, listedAt }] of notices) {
    if (listedAt === now) continue
    if (!restrictsRequests(notice, now) || now - listedAt > unlistedTtlMs) notices.delete(server)
  }
}
