export * from './archiving.js'
export * from './core.js'
export * from './http.js'
export * from './service.js'
