/** roarr writes nothing unless this variable is set before it is loaded. */
process.env.ROARR_LOG ??= 'true';
