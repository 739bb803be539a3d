/** Identifies the build of this program in logs. The bundler replaces the text by a digest of the bundled program. */
export const programBuild = 'unbundled build'
