/** Client library: submits, watches and cancels jobs of one installation over gRPC or HTTP. */
export * from './client.js'
export * from './errors.js'
export { newUid, type Submission } from './submission.js'
export { isFinal, type JobEvent, type JobInfo, type JobState, type Selection } from './transport.js'
