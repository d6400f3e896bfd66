/** The gRPC definition of the job service, its message types, and their conversion to and from the types of `wire`. */
export * from './convert.js'
export * from './definition.js'
export type { Event__Output as EventMessage } from './generated/heathroad/v1/Event.js'
export type { Job__Output as JobMessage } from './generated/heathroad/v1/Job.js'
export type { JobsClient } from './generated/heathroad/v1/Jobs.js'
export type { SubmitRequest__Output as SubmitMessage } from './generated/heathroad/v1/SubmitRequest.js'
export type { WatchRequest__Output as WatchMessage } from './generated/heathroad/v1/WatchRequest.js'
