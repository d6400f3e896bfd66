/** Ports of a single shard for tests of less than a whole controller. */
import { NO_CHECKS, OfferAvailability, type ShardDependencies } from '@heathroad/controller'
import { BOX_MACHINE_TYPE } from './simulated-day.js'

/** Ports of a shard where nothing happens: no machine is rented, no write is answered. `overrides`: what a test needs. */
export const idlePorts = (overrides: Partial<ShardDependencies>): ShardDependencies => ({
	now: () => 0,
	wallClockMs: () => 0,
	leadership: () => 'lease',
	entry: () => undefined,
	withPrefix: () => [],
	job: () => undefined,
	wasQuarantined: () => false,
	usageInOtherShards: () => ({ cpus: 0, gpus: 0 }),
	migrationPlanner: () => () => null,
	checks: () => NO_CHECKS,
	isPendingRelease: () => false,
	keepsReleaseMark: () => false,
	openJobs: () => [],
	applyOwnWrite: () => {},
	enqueueWrite: (write) => ({ ...write, deadline: 0 }),
	raisePriority: () => {},
	refreshCache: (done) => done(),
	linearizableRead: (done) => done(true),
	revision: () => 5,
	sendCommands: () => {},
	rent: () => {},
	releaseMachines: () => {},
	availableCloudCalls: () => 0,
	machineTypes: () => [BOX_MACHINE_TYPE],
	offerAvailability: new OfferAvailability(),
	log: () => {},
	...overrides,
})
