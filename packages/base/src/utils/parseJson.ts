/** Parses JSON without repeating any of its content in an error, since it may hold secrets. */

const positionPattern = / at position \d+/

/**
 * Parses JSON.
 *
 * @throws SyntaxError that names the position of the error if it is known, and no part of the text
 */
export function parseJson (text: string): unknown {
  try {
    return JSON.parse(text)
  } catch (err) {
    const [position] = positionPattern.exec(String(err)) ?? ['']
    throw new SyntaxError(`not valid JSON${position}`)
  }
}
