/** Modules must not import each other in circles, not even for types. */
module.exports = {
  forbidden: [{ name: 'no-circular', severity: 'error', from: {}, to: { circular: true } }],
  options: {
    tsPreCompilationDeps: true,
    doNotFollow: { path: 'node_modules' },
    exclude: { path: '(^|/)(dist|node_modules)/' },
    enhancedResolveOptions: { extensions: ['.ts', '.js'] }
  }
}
