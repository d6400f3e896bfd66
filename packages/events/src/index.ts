/** Event streams of jobs: admission, the events delivered and their order, and the cursors to resume at. */
export * from './cursor.js'
export * from './hub.js'
export * from './job-records.js'
export * from './send-scheduler.js'
export * from './stream-admission.js'
export * from './subscription.js'
