package org.boragebarrow.node.settings;

import net.jqwik.api.Example;

import static com.google.common.truth.Truth.assertThat;

class RepeatableCallTest {
    private final RepeatableCall rule = RepeatableCall.parse("GET /stock");

    @Example
    void aRuleMatchesItsPathAndAllPathsBelow() {
        assertThat(rule.matches("GET", "/stock")).isTrue();
        assertThat(rule.matches("GET", "/stock?of=tin")).isTrue();
        assertThat(rule.matches("GET", "/stock/tin?grade=a/../b")).isTrue();
    }

    @Example
    void aPathThatSharesOnlyAStringPrefixIsNotMatched() {
        assertThat(rule.matches("GET", "/stocktaking")).isFalse();
    }

    @Example
    void anotherMethodIsNotMatched() {
        assertThat(rule.matches("POST", "/stock")).isFalse();
        assertThat(rule.matches("get", "/stock")).isFalse();
    }

    @Example
    void anAmbiguousPathIsNotMatched() {
        assertThat(rule.matches("GET", "/stock/../orders")).isFalse();
        assertThat(rule.matches("GET", "/stock/..")).isFalse();
        assertThat(rule.matches("GET", "/stock/%2E%2e/orders")).isFalse();
        assertThat(rule.matches("GET", "/stock/..%2forders")).isFalse();
        assertThat(rule.matches("GET", "/stock/%252e%252e/orders")).isFalse();
        assertThat(rule.matches("GET", "/stock/..;x/orders")).isFalse();
        assertThat(rule.matches("GET", "/stock/..\\orders")).isFalse();
        assertThat(rule.matches("GET", "/stock//orders")).isFalse();
    }

    @Example
    void aRuleWithoutAMethodIsRefused() {
        assertThat(isRefused("/stock")).isTrue();
    }

    @Example
    void aRuleWithoutALeadingSlashIsRefused() {
        assertThat(isRefused("GET stock")).isTrue();
    }

    private static boolean isRefused(String rule) {
        try {
            RepeatableCall.parse(rule);
            return false;
        } catch (IllegalArgumentException e) {
            return true;
        }
    }
}
