// Reference pages of the settings, generated from their tables.

package parser

import (
	"strconv"
	"strings"
)

const referenceHeader = `# Settings

A daemon reads its settings once, from one file of JSON with comments. Unknown
fields are refused. Durations are texts such as "250ms", byte sizes are whole
numbers or texts such as "1MiB", and addresses hold IP addresses, never host names.

| Setting | Type | Default | Allowed | Meaning |
|---|---|---|---|---|
`

// SettingsReference returns the reference page of a daemon's settings in Markdown.
func SettingsReference() string { return referencePage(referenceHeader, settingRows) }

// SidecarReference returns the reference page of a sidecar's settings in Markdown.
func SidecarReference() string { return referencePage(sidecarReferenceHeader, sidecarRows) }

const sidecarReferenceHeader = `# Settings of a sidecar

A sidecar ("coltsfootflow sidecar") reads its settings from one file of JSON with
comments, at its start, on SIGHUP, and when the file changes. Only "service" changes
while it runs; anything else takes a restart. Unknown fields are refused;
"coltsfootflow check --sidecar FILE" names every fault with its line. On the users'
platform the file is filled in from deploy/settings.hujson.

| Setting | Type | Default | Allowed | Meaning |
|---|---|---|---|---|
`

func referencePage(head string, rows []SettingRow) string {
	var page strings.Builder
	page.WriteString(head)
	for _, row := range rows {
		cells := []string{"`" + row.Name + "`", string(row.Type), row.defaultCell(), row.allowedCell(), row.Help}
		page.WriteString("| " + strings.Join(cells, " | ") + " |\n")
	}
	return page.String()
}

func (row SettingRow) defaultCell() string {
	switch {
	case row.Required:
		return "required"
	case row.Default == "":
		return "none"
	}
	return "`" + row.Default + "`"
}

func (row SettingRow) allowedCell() string {
	switch row.Type {
	case SettingName:
		return allowedName
	case SettingBindAddress:
		return allowedBindAddress
	case SettingAddress, SettingAddresses:
		return allowedAddress
	case SettingURLs:
		return "at least one of " + allowedURL
	case SettingSecret:
		return "at least " + strconv.Itoa(MinSecretBytes) + " bytes"
	case SettingTexts:
		return allowedTextsByName
	case SettingChoice:
		return "`" + strings.Join(row.Choices, "`, `") + "`"
	}
	return "`" + row.Min + "` to `" + row.Max + "`"
}
