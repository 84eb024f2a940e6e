/** Merges facts about endpoints by the start times and sequence numbers in them, in any order of arrival. */
export { EndpointRegistry, type EndpointRegistryOptions, type EndpointView } from "./endpointRegistry.js";
