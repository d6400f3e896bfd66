/** One controller as a component of a program: its composition root, its HTTP server and its extension points. */
export * from './archival-policy.js'
export * from './controller-context.js'
export * from './http-server.js'
export * from './job-locator.js'
export * from './obsolete-records.js'
export * from './service.js'
export * from './submission-queue.js'
