/** Ordering of the heartbeats of one machine. */
import type { Heartbeat } from '@heathroad/wire'
import type { Machine } from './model.js'

/** Whether the heartbeat was created after the latest one that was processed for the machine. */
export const isNewerHeartbeat = (heartbeat: Heartbeat, machine: Machine): boolean =>
	heartbeat.agentEpoch > machine.agentEpoch ||
	(heartbeat.agentEpoch >= machine.agentEpoch && heartbeat.sequence > machine.heartbeatSequence)
