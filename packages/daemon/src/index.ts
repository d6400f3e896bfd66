/** One controller as a long-lived process: start, reload, operators' calls, drain and end. */

export * from './admin.js'
export * from './controller-process.js'
export * from './drain.js'
export * from './log.js'
export * from './open-plugins.js'
