/** Event streams of jobs: who may open one, what it delivers, in which order, and where it resumes. */
export * from './cursor.js'
export * from './hub.js'
export * from './job-records.js'
export * from './send-scheduler.js'
export * from './stream-admission.js'
export * from './subscription.js'
