package org.boragebarrow.http.engine;

import com.google.common.net.UrlEscapers;
import org.boragebarrow.model.AttemptId;

/** Header names, paths and event types of the engine protocol. */
public final class EngineProtocol {
    /** Carries the request id. */
    public static final String REQUEST_ID = "Request-Id";

    /** Carries the attempt id. */
    public static final String ATTEMPT_ID = "Attempt-Id";

    /** Carries the model's id. */
    public static final String MODEL = "Model";

    /** Carries the length of the prompt, in tokens. */
    public static final String PROMPT_TOKENS = "Prompt-Tokens";

    /** Carries the maximum number of tokens in the answer. */
    public static final String MAX_TOKENS = "Max-Tokens";

    /** Carries the index of the first token that the caller has not received. */
    public static final String FIRST_INDEX = "First-Index";

    /** Indicates whether the engine should resume its own sequence. */
    public static final String RESUME = "Resume";

    /** Carries the priority; lower numbers run first. */
    public static final String PRIORITY = "Priority";

    /** Carries the time until the request's time limit, in milliseconds. */
    public static final String REMAINING_MS = "Remaining-Ms";

    /** Carries the length of the already delivered text that follows the caller's body, in bytes. */
    public static final String CONTINUATION_BYTES = "Continuation-Bytes";

    /** Identifies the reservations for a prompt that does not fit one engine. */
    public static final String GANG = "Gang";

    /** The path to which sequences are submitted. */
    public static final String SEQUENCES = "/v1/sequences";

    /** The path of the holdings. */
    public static final String HOLDINGS = "/v1/holdings";

    /** The path of the load report. */
    public static final String LOAD = "/v1/load";

    /** The path of the cache events. */
    public static final String CACHE_EVENTS = "/v1/cache-events";

    /** The path of the reservations. */
    public static final String RESERVATIONS = "/v1/reservations";

    /** The path of the exports. */
    public static final String EXPORTS = "/v1/exports";

    /** The path to which orders are sent. */
    public static final String ORDERS = "/v1/orders";

    /** The type of the first event of a stream, which contains its attempt id. */
    public static final String START_EVENT = "start";

    /** The type of the event that ends a complete stream. */
    public static final String END_EVENT = "end";

    /** The type of the event that ends a sequence which the engine aborted. */
    public static final String ERROR_EVENT = "error";

    private EngineProtocol() {}

    /** Returns the path of one item; the id is percent-encoded as a single segment. */
    public static String itemPath(String collection, String id) {
        return collection + "/" + UrlEscapers.urlPathSegmentEscaper().escape(id);
    }

    /** Returns the path of the item that belongs to one attempt. */
    public static String itemPath(String collection, AttemptId attempt) {
        return itemPath(collection, attempt.toString());
    }
}
