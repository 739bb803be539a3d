/** Bodies that show who created them, for which request, and whether they are complete. */
import { hashText } from '@lynxcourse/base'

/**
 * Creates a text of a given length.
 *
 * @param author id of the backend server, or of the caller for the body of a request
 * @param bytes length of the text; at least that of its prefix
 */
export function createText (author: string, id: string, bytes: number): string {
  const hash = hashText(`${author} ${id}`).toString(16).padStart(8, '0')
  const prefix = `${author} ${id} ${bytes} `
  const filling = hash.repeat(Math.ceil(Math.max(0, bytes - prefix.length) / hash.length))
  return (prefix + filling).slice(0, Math.max(bytes, prefix.length))
}

/** Returns whether a text is complete and unchanged. */
export function isWholeText (text: string, author: string, id: string): boolean {
  const prefix = `${author} ${id} `
  if (!text.startsWith(prefix)) return false
  const bytes = parseInt(text.slice(prefix.length), 10)
  return Number.isSafeInteger(bytes) && bytes < 1e8 && text === createText(author, id, bytes)
}
