explain: Unknown: no line tells of request "0000"
