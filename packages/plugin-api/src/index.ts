export * from './answers.js'
export * from './manifest.js'
export * from './trial.js'
export * from './types.js'
