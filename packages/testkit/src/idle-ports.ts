import { NO_CHECKS, OfferAvailability, type ShardPorts } from '@heathroad/controller'
import { BOX_MACHINE_TYPE } from './simulated-day.js'

/** What one part alone needs where nothing happens: no machine is rented, no write answered. `more`: what a test is about. */
export const idlePorts = (more: Partial<ShardPorts>): ShardPorts => ({
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
	enqueueWrite: (w) => ({ ...w, deadline: 0 }),
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
	...more,
})
