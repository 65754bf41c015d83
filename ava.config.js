export default {
  files: ['packages/*/*_test.ts'],
  extensions: { ts: 'module' },
  nodeArguments: ['--import=tsx', '--conditions=source'],
  workerThreads: false,
  timeout: '5m'
}
