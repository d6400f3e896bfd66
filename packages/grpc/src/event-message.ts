/** Events of a subscription as messages of the definition. */
import type { JobEvent } from '@heathroad/events'
import type { EventMessage } from '@heathroad/proto'

const EVENT_STATES = {
	pending: 'STATE_PENDING',
	running: 'STATE_RUNNING',
	done: 'STATE_DONE',
	cancelled: 'STATE_CANCELLED',
} as const

/** Encodes an event as the message of the definition. */
export const eventMessage = (event: JobEvent): Partial<EventMessage> => ({
	...event,
	state: EVENT_STATES[event.state],
})
