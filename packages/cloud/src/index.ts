/** Client of the cloud from which machines are rented. */
export type { RentalRequest } from '@heathroad/wire'
export * from './cloud-client.js'
