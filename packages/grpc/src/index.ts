/** The gRPC server of a controller: jobs as unary calls, job events as streams, health and reflection. */
export * from './event-message.js'
export * from './grpc-server.js'
export * from './service-records.js'
