export * from './http.js'
export * from './service.js'
