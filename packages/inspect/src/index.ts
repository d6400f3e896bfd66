/** Operators' tools that check, export, import and compare the state in the state service. */

export * from './checker.js'
export * from './cloud-machines.js'
export type { Finding } from './finding.js'
export * from './id-set.js'
export * from './snapshot-diff.js'
export * from './snapshot-export.js'
export * from './snapshot-file.js'
export { InvalidSnapshot } from './snapshot-format.js'
export { type ImportLimits, importState } from './snapshot-import.js'
export { ServiceUnavailable, type WalkLimits, walk } from './walk.js'
