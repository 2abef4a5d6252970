package org.boragebarrow.http.engine;

import com.google.common.net.UrlEscapers;
import org.boragebarrow.model.AttemptId;

/** Names of the engines' wire protocol. */
public final class EngineProtocol {
    /** Carries the request id. */
    public static final String REQUEST_ID = "Request-Id";

    /** Carries the attempt id. */
    public static final String ATTEMPT_ID = "Attempt-Id";

    /** Carries the model's id. */
    public static final String MODEL = "Model";

    /** Carries the length of the prompt, in tokens. */
    public static final String PROMPT_TOKENS = "Prompt-Tokens";

    /** Carries the most tokens of the answer. */
    public static final String MAX_TOKENS = "Max-Tokens";

    /** Carries the index of the first token that the caller lacks. */
    public static final String FIRST_INDEX = "First-Index";

    /** Tells whether the engine should resume its own sequence. */
    public static final String RESUME = "Resume";

    /** Carries the priority; lower numbers run first. */
    public static final String PRIORITY = "Priority";

    /** Carries the time until the request's time limit, in milliseconds. */
    public static final String REMAINING_MS = "Remaining-Ms";

    /** Carries the length of the delivered text that follows the caller's body, in bytes. */
    public static final String CONTINUATION_BYTES = "Continuation-Bytes";

    /** Names the reservations of a prompt that is larger than one engine. */
    public static final String GANG = "Gang";

    /** The path to which sequences are submitted. */
    public static final String SEQUENCES = "/v1/sequences";

    /** The path of the holdings. */
    public static final String HOLDINGS = "/v1/holdings";

    /** The path of the load report. */
    public static final String LOAD = "/v1/load";

    /** The path of the cache events. */
    public static final String CACHE_EVENTS = "/v1/cache-events";

    /** The path under which reservations lie. */
    public static final String RESERVATIONS = "/v1/reservations";

    /** The path under which exports lie. */
    public static final String EXPORTS = "/v1/exports";

    /** The path to which orders go. */
    public static final String ORDERS = "/v1/orders";

    /** The type of the event that opens a stream and names its attempt. */
    public static final String START_EVENT = "start";

    /** The type of the event that ends a complete stream. */
    public static final String END_EVENT = "end";

    /** The type of the event that ends a sequence which the engine gave up. */
    public static final String ERROR_EVENT = "error";

    private EngineProtocol() {}

    /** Returns the path of one item, percent-encoded as a single segment. */
    public static String item(String collection, String id) {
        return collection + "/" + UrlEscapers.urlPathSegmentEscaper().escape(id);
    }

    /** Returns the path of one attempt's item. */
    public static String item(String collection, AttemptId attempt) {
        return item(collection, attempt.toString());
    }
}
