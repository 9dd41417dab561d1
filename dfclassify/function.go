package dfclassify

import "strings"

// readOnlyFunctions has the built-in functions that change neither data nor session
// state and can run on a replica. A function that is not listed is treated as a
// write. Functions that need a transaction ID or the end of the local WAL
// (txid_current, pg_current_wal_lsn) and those that execute a query passed as text
// (query_to_xml, ts_rewrite) are deliberately not listed.
var readOnlyFunctions = newSet(`
	abs acos acosd acosh asin asind asinh atan atan2 atan2d atand atanh cbrt ceil ceiling cos cosd cosh
	cot cotd degrees div exp erf erfc factorial floor gcd lcm ln log log10 min_scale mod pi power pow
	radians random random_normal round scale sign sin sind sinh sqrt tan tand tanh trim_scale trunc width_bucket
	ascii bit_length btrim char_length character_length chr concat concat_ws convert convert_from convert_to
	decode encode format get_bit get_byte initcap left length like_escape lower lpad ltrim md5 normalize octet_length
	is_normalized overlay parse_ident pg_client_encoding position quote_ident quote_literal quote_nullable
	regexp_count regexp_instr regexp_like regexp_match regexp_matches regexp_replace regexp_split_to_array
	regexp_split_to_table regexp_substr repeat replace reverse right rpad rtrim set_bit set_byte sha224 sha256
	sha384 sha512 crc32 crc32c similar_escape similar_to_escape split_part starts_with string_to_array string_to_table
	strpos substr substring text to_ascii to_hex to_bin to_oct translate trim unistr upper bit_count
	age clock_timestamp date_add date_bin date_part date_subtract date_trunc extract isfinite justify_days
	justify_hours justify_interval make_date make_interval make_time make_timestamp make_timestamptz now overlaps
	statement_timestamp timeofday timezone to_timestamp transaction_timestamp date time timestamp timestamptz interval
	to_char to_date to_number
	cardinality array_append array_cat array_dims array_fill array_length array_lower array_ndims array_position
	array_positions array_prepend array_remove array_replace array_sample array_shuffle array_to_string array_upper
	trim_array unnest generate_series generate_subscripts array_reverse array_sort
	array_agg avg bit_and bit_or bit_xor bool_and bool_or count every max min sum string_agg any_value
	range_agg range_intersect_agg corr covar_pop covar_samp regr_avgx regr_avgy regr_count regr_intercept regr_r2
	regr_slope regr_sxx regr_sxy regr_syy stddev stddev_pop stddev_samp variance var_pop var_samp mode
	percentile_cont percentile_disc rank dense_rank percent_rank cume_dist row_number ntile lag lead first_value
	last_value nth_value grouping xmlagg
	to_json to_jsonb array_to_json row_to_json json_build_array jsonb_build_array json_build_object jsonb_build_object
	json_object jsonb_object json_array_elements jsonb_array_elements json_array_elements_text
	jsonb_array_elements_text json_array_length jsonb_array_length json_each jsonb_each json_each_text jsonb_each_text
	json_extract_path jsonb_extract_path json_extract_path_text jsonb_extract_path_text json_object_keys
	jsonb_object_keys json_populate_record jsonb_populate_record json_populate_recordset jsonb_populate_recordset
	json_to_record jsonb_to_record json_to_recordset jsonb_to_recordset json_strip_nulls jsonb_strip_nulls jsonb_set
	jsonb_set_lax jsonb_insert jsonb_path_exists jsonb_path_match jsonb_path_query jsonb_path_query_array
	jsonb_path_query_first jsonb_path_exists_tz jsonb_path_match_tz jsonb_path_query_tz jsonb_path_query_array_tz
	jsonb_path_query_first_tz jsonb_pretty json_typeof jsonb_typeof json_agg jsonb_agg json_object_agg jsonb_object_agg
	json_agg_strict jsonb_agg_strict json_object_agg_strict jsonb_object_agg_strict
	array_to_tsvector get_current_ts_config numnode plainto_tsquery phraseto_tsquery websearch_to_tsquery querytree
	setweight strip to_tsquery to_tsvector ts_delete ts_filter ts_headline ts_rank ts_rank_cd
	tsquery_phrase tsvector_to_array ts_debug ts_lexize ts_token_type
	isempty lower_inc lower_inf upper_inc upper_inf range_merge multirange int4range int8range numrange tsrange
	tstzrange daterange
	area box center circle diagonal diameter height isclosed isopen line lseg npoints path pclose point polygon popen
	radius slope width
	abbrev broadcast family host hostmask inet_merge inet_same_family masklen netmask network set_masklen macaddr8_set7bit
	gen_random_uuid uuidv4 uuidv7 uuid_extract_timestamp uuid_extract_version
	current_database current_catalog current_schema current_schemas current_user session_user user version
	inet_client_addr inet_client_port inet_server_addr inet_server_port pg_backend_pid pg_postmaster_start_time
	pg_conf_load_time pg_is_in_recovery pg_typeof pg_collation_for pg_column_size pg_column_compression
	pg_database_size pg_relation_size pg_table_size pg_indexes_size pg_total_relation_size pg_size_bytes
	pg_size_pretty pg_tablespace_size current_setting col_description obj_description shobj_description
	format_type to_regclass to_regtype to_regproc to_regprocedure to_regoper to_regnamespace to_regrole
	has_any_column_privilege has_column_privilege has_database_privilege has_foreign_data_wrapper_privilege
	has_function_privilege has_language_privilege has_schema_privilege has_sequence_privilege has_server_privilege
	has_table_privilege has_tablespace_privilege has_type_privilege pg_has_role row_security_active
	pg_get_constraintdef pg_get_expr pg_get_functiondef pg_get_function_arguments pg_get_function_identity_arguments
	pg_get_function_result pg_get_indexdef pg_get_keywords pg_get_ruledef pg_get_serial_sequence pg_get_statisticsobjdef
	pg_get_triggerdef pg_get_userbyid pg_get_viewdef pg_get_partkeydef pg_encoding_to_char pg_char_to_encoding
	pg_function_is_visible pg_table_is_visible pg_type_is_visible pg_operator_is_visible pg_opclass_is_visible
	pg_collation_is_visible pg_index_column_has_property pg_index_has_property pg_indexam_has_property
	pg_options_to_table pg_tablespace_location pg_input_is_valid num_nulls num_nonnulls
	pg_last_wal_receive_lsn pg_last_wal_replay_lsn pg_last_xact_replay_timestamp pg_wal_lsn_diff
	pg_stat_get_activity pg_partition_tree pg_partition_ancestors pg_partition_root
	xmlcomment xmlconcat xmlexists xml_is_well_formed xpath xpath_exists
	pg_sleep pg_sleep_for pg_sleep_until group_status group_position
`)

// advisoryLockFunctions has the functions that acquire or release session-level
// advisory locks.
var advisoryLockFunctions = newSet(`
	pg_advisory_lock pg_advisory_lock_shared pg_try_advisory_lock pg_try_advisory_lock_shared
	pg_advisory_unlock pg_advisory_unlock_shared pg_advisory_unlock_all
`)

// statelessWriteFunctions has functions that write but leave no session state.
var statelessWriteFunctions = newSet(`
	pg_advisory_xact_lock pg_advisory_xact_lock_shared pg_try_advisory_xact_lock pg_try_advisory_xact_lock_shared
	nextval setval pg_notify txid_current pg_current_xact_id pg_current_wal_lsn pg_cancel_backend
	pg_terminate_backend lo_create lo_unlink lo_import
`)

func newSet(words string) map[string]struct{} {
	members := map[string]struct{}{}
	for _, word := range strings.Fields(words) {
		members[word] = struct{}{}
	}
	return members
}

func contains(members map[string]struct{}, word string) bool {
	_, found := members[word]
	return found
}
