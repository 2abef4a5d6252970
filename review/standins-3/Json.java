import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/** Reads and writes JSON as maps, lists, strings, numbers and booleans. */
final class Json {
    private final String text;
    private int at;

    private Json(String text) {
        this.text = text;
    }

    static Object parse(String text) {
        return new Json(text).value();
    }

    @SuppressWarnings("unchecked")
    static Map<String, Object> object(String text) {
        return (Map<String, Object>) parse(text);
    }

    private Object value() {
        blank();
        char c = text.charAt(at);
        if (c == '{') {
            Map<String, Object> map = new LinkedHashMap<>();
            at++;
            for (blank(); text.charAt(at) != '}'; blank()) {
                String key = (String) value();
                blank();
                at++;
                map.put(key, value());
                blank();
                if (text.charAt(at) == ',') {
                    at++;
                }
            }
            at++;
            return map;
        }
        if (c == '[') {
            List<Object> list = new ArrayList<>();
            at++;
            for (blank(); text.charAt(at) != ']'; blank()) {
                list.add(value());
                blank();
                if (text.charAt(at) == ',') {
                    at++;
                }
            }
            at++;
            return list;
        }
        if (c == '"') {
            StringBuilder out = new StringBuilder();
            for (at++; text.charAt(at) != '"'; at++) {
                char next = text.charAt(at);
                if (next == '\\') {
                    at++;
                    next = text.charAt(at);
                    if (next == 'u') {
                        out.append((char) Integer.parseInt(text.substring(at + 1, at + 5), 16));
                        at += 4;
                        continue;
                    }
                    next = next == 'n' ? '\n' : next == 't' ? '\t' : next == 'r' ? '\r' : next;
                }
                out.append(next);
            }
            at++;
            return out.toString();
        }
        int start = at;
        while (at < text.length() && ",]} \n\r\t".indexOf(text.charAt(at)) < 0) {
            at++;
        }
        String word = text.substring(start, at);
        return switch (word) {
            case "true" -> true;
            case "false" -> false;
            case "null" -> null;
            default -> Double.valueOf(word);
        };
    }

    private void blank() {
        while (at < text.length() && Character.isWhitespace(text.charAt(at))) {
            at++;
        }
    }

    static String write(Object value) {
        if (value instanceof Map<?, ?> map) {
            List<String> parts = new ArrayList<>();
            map.forEach((key, inner) -> parts.add(write(key) + ":" + write(inner)));
            return "{" + String.join(",", parts) + "}";
        }
        if (value instanceof List<?> list) {
            return "[" + String.join(",", list.stream().map(Json::write).toList()) + "]";
        }
        if (value instanceof String s) {
            return "\"" + s.replace("\\", "\\\\").replace("\"", "\\\"") + "\"";
        }
        if (value instanceof Double d && d == Math.rint(d)) {
            return Long.toString(d.longValue());
        }
        return String.valueOf(value);
    }
}
