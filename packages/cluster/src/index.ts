export * from './fleets.js'
export * from './jobs.js'
export * from './membership.js'
export * from './records.js'
