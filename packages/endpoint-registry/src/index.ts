/** Merges facts about endpoints by their own versions, so that the result does not depend on the order of arrival. */
export { EndpointRegistry, type EndpointRegistryOptions, type EndpointView } from "./endpointRegistry.js";
