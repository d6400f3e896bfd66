/** The form of network addresses in every settings file. */

/** An IPv4 address and a port, without checking their ranges. */
export const ADDRESS_PATTERN = /^\d{1,3}(\.\d{1,3}){3}:\d{1,5}$/

/** The form in words, for error messages. */
export const ADDRESS_FORMAT = 'an IPv4 address and a port, such as 10.0.0.1:8080'
