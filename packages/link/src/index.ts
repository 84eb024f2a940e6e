/** Links between processes of a cluster: CBOR frames over TCP or TLS, with calls, heartbeats and reconnection. */
export { encodeFrame, FrameDecoder, FrameError, MAX_FRAME_BYTES } from "./frame.js";
export {
    castToAll,
    Link,
    type LinkCallHandler,
    LinkError,
    type LinkFault,
    type LinkHandlers,
    type LinkOptions,
    type LinkTraffic,
    type PeerIdentity,
} from "./link.js";
export { LinkDialer, type LinkDialerOptions } from "./linkDialer.js";
export { LinkListener, type LinkListenerOptions } from "./linkListener.js";
export { type Address, parseAddress, type TlsMaterial } from "./transport.js";
