/** The API of plug-ins: what a plug-in's module exports, what it receives and answers, its manifest, and its tests. */
export * from './answers.js'
export type { Manifest } from './manifest-schema.js'
export * from './manifest-validation.js'
export * from './read-manifest.js'
export * from './trial.js'
export * from './types.js'
