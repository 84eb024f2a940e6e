/** JSON schema fragments for the settings of roles: one `host:port` address, or a list of them. */
export const ADDRESS_SCHEMA = { type: "string", pattern: "^[^:\\s]+:[0-9]{1,5}$", description: "host:port" } as const;
export const ADDRESS_LIST_SCHEMA = { type: "array", minItems: 1, items: ADDRESS_SCHEMA, uniqueItems: true } as const;
