/** The process of one controller: start, reload, operators' requests, drain and shutdown. */

export * from './admin.js'
export * from './controller-process.js'
export * from './drain.js'
export * from './log.js'
export * from './open-plugins.js'
