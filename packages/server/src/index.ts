/** One controller as a program's component: its composition root, its HTTP server and what other packages plug into. */
export * from './archival-policy.js'
export * from './controller-context.js'
export * from './http-server.js'
export * from './job-locator.js'
export * from './obsolete-records.js'
export * from './service.js'
export * from './submission-queue.js'
