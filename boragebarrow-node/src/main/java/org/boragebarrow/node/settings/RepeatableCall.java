package org.boragebarrow.node.settings;

import java.util.regex.Pattern;

import static com.google.common.base.Preconditions.checkArgument;
import static com.google.common.base.Preconditions.checkNotNull;

/** A method and path prefix of a plain service whose calls may be repeated. */
public record RepeatableCall(String method, String pathPrefix) {
    private static final Pattern AMBIGUOUS =
            Pattern.compile("//|/\\.\\.?(/|;|$)|[\\\\;]|%(2e|2f|5c|3b|25)", Pattern.CASE_INSENSITIVE);

    public RepeatableCall {
        checkNotNull(method);
        checkArgument(pathPrefix.startsWith("/"), "a path starts with a slash: \"%s\"", pathPrefix);
    }

    static RepeatableCall parse(String text) {
        int space = text.indexOf(' ');
        checkArgument(space > 0, "not a method and a path: \"%s\"", text);
        return new RepeatableCall(
                text.substring(0, space), text.substring(space + 1).trim());
    }

    /**
     * Returns whether the call may be repeated by this rule.
     *
     * <p>A path that a service could read as another one matches no rule.
     */
    public boolean matches(String calledMethod, String pathAndQuery) {
        int query = pathAndQuery.indexOf('?');
        String path = query < 0 ? pathAndQuery : pathAndQuery.substring(0, query);
        boolean below = path.startsWith(pathPrefix.endsWith("/") ? pathPrefix : pathPrefix + "/");
        boolean samePath = path.equals(pathPrefix) || below;
        return method.equals(calledMethod)
                && samePath
                && !AMBIGUOUS.matcher(path).find();
    }
}
