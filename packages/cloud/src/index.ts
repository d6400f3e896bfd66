/** Access to the cloud that machines are rented from. */
export type { RentalRequest } from '@heathroad/wire'
export * from './cloud-client.js'
