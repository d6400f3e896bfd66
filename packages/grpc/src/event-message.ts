/** Conversion of job events to gRPC messages. */
import type { JobEvent } from '@heathroad/events'
import type { EventMessage } from '@heathroad/proto'

const EVENT_STATES = {
	pending: 'STATE_PENDING',
	running: 'STATE_RUNNING',
	done: 'STATE_DONE',
	cancelled: 'STATE_CANCELLED',
} as const

/** Converts a job event to the message `Event` of the service definition. */
export const eventMessage = (event: JobEvent): Partial<EventMessage> => ({
	...event,
	state: EVENT_STATES[event.state],
})
