export * from './service.js'
