/** The format of network addresses in all settings files. */

/** Matches an IPv4 address and a port; does not check the ranges of their numbers. */
export const ADDRESS_PATTERN = /^\d{1,3}(\.\d{1,3}){3}:\d{1,5}$/

/** Description of the format for error messages. */
export const ADDRESS_FORMAT = 'an IPv4 address and a port, such as 10.0.0.1:8080'
