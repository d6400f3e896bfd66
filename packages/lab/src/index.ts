/** The lab: experiments that run real controller processes with fake services and machines. */
export * from './experiment.js'
export * from './experiment-run.js'
export * from './fake-servers.js'
export * from './generated-history.js'
export * from './html-report.js'
export * from './start-measurement.js'
