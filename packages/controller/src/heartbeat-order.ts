/** Order of the heartbeats of one machine. */
import type { Heartbeat } from '@heathroad/wire'
import type { Machine } from './model.js'

/** Was this heartbeat made after the latest one that was processed of its machine? */
export const isNewerHeartbeat = (heartbeat: Heartbeat, machine: Machine): boolean =>
	heartbeat.agentEpoch > machine.agentEpoch ||
	(heartbeat.agentEpoch >= machine.agentEpoch && heartbeat.sequence > machine.heartbeatSequence)
