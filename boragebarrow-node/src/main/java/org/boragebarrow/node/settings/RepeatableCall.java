package org.boragebarrow.node.settings;

import static com.google.common.base.Preconditions.checkArgument;
import static com.google.common.base.Preconditions.checkNotNull;

/** A method and path prefix of a plain service whose calls may be repeated. */
public record RepeatableCall(String method, String pathPrefix) {
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

    /** Returns whether the call may be repeated by this rule. */
    public boolean matches(String calledMethod, String path) {
        boolean samePath = path.equals(pathPrefix)
                || path.startsWith(pathPrefix.endsWith("/") ? pathPrefix : pathPrefix + "/")
                || path.startsWith(pathPrefix + "?");
        return method.equals(calledMethod) && samePath;
    }
}
