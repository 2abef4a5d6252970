package org.boragebarrow.node.settings;

import java.util.regex.Pattern;

import static com.google.common.base.Preconditions.checkArgument;
import static com.google.common.base.Preconditions.checkNotNull;

/** A rule that allows retries of the calls to a plain service that have this method and path prefix. */
public record RepeatableCall(String method, String pathPrefix) {
    private static final Pattern AMBIGUOUS =
            Pattern.compile("//|/\\.\\.?(/|;|$)|[\\\\;]|%(2e|2f|5c|3b|25)", Pattern.CASE_INSENSITIVE);

    public RepeatableCall {
        checkNotNull(method);
        checkArgument(pathPrefix.startsWith("/"), "path does not start with a slash: \"%s\"", pathPrefix);
    }

    static RepeatableCall parse(String text) {
        int space = text.indexOf(' ');
        checkArgument(space > 0, "not a method and a path: \"%s\"", text);
        return new RepeatableCall(
                text.substring(0, space), text.substring(space + 1).trim());
    }

    /**
     * Returns whether this rule allows retries of the call.
     *
     * <p>No rule matches an ambiguous path, which a service could resolve to another one.
     */
    public boolean matches(String calledMethod, String pathAndQuery) {
        int query = pathAndQuery.indexOf('?');
        String path = query < 0 ? pathAndQuery : pathAndQuery.substring(0, query);
        boolean isBelowPrefix = path.startsWith(pathPrefix.endsWith("/") ? pathPrefix : pathPrefix + "/");
        boolean pathMatches = path.equals(pathPrefix) || isBelowPrefix;
        return method.equals(calledMethod)
                && pathMatches
                && !AMBIGUOUS.matcher(path).find();
    }
}
