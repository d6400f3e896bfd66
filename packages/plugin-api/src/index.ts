/** The API of plug-ins: types of the hooks and their answers, the manifest, and helpers for a plug-in's tests. */
export * from './answers.js'
export type { Manifest } from './manifest-schema.js'
export * from './manifest-validation.js'
export * from './read-manifest.js'
export * from './trial.js'
export * from './types.js'
