package org.boragebarrow.node.settings;

import net.jqwik.api.Example;

import static com.google.common.truth.Truth.assertThat;

class SettingKeysTest {
    @Example
    void anUnknownEngineRoleIsRefusedWithTheValidRoles() {
        String reason = "";
        try {
            SettingKeys.ENGINE_ROLE.parser().apply("all");
        } catch (IllegalArgumentException e) {
            reason = e.getMessage();
        }
        assertThat(reason).contains("prefill, decode, both");
    }
}
