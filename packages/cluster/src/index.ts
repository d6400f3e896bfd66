export * from './membership.js'
export * from './records.js'
