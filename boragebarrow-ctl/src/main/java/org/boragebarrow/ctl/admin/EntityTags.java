package org.boragebarrow.ctl.admin;

import java.util.Optional;

import com.google.common.base.CharMatcher;
import com.google.common.primitives.Longs;
import org.boragebarrow.ctl.CommandException;
import org.boragebarrow.ctl.ExitCode;
import org.boragebarrow.http.client.HttpAnswer;

/** Static functions that convert between versions of entries and HTTP entity tags. */
public final class EntityTags {
    private EntityTags() {}

    /** Returns the entity tag of a version. */
    static String of(long version) {
        return "\"" + version + "\"";
    }

    /** Returns the version in the ETag header of a response; throws {@link CommandException} if there is none. */
    public static long version(HttpAnswer answer) {
        Optional<Long> version =
                answer.header("etag").map(CharMatcher.is('"')::trimFrom).map(Longs::tryParse);
        return version.orElseThrow(
                () -> new CommandException(ExitCode.FAILED, "the response has no version in an ETag header"));
    }
}
